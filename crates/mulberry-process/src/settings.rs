//! Settings in flags and environment variables, declared in one table for each process.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use miette::Diagnostic;
use thiserror::Error;

use mulberry_protocol::name::EndpointName;
use mulberry_protocol::name::EntryName;
use mulberry_protocol::name::ServiceName;
use mulberry_protocol::name::ZoneName;

/// A value that can be read from the text of a flag or variable.
pub trait SettingValue: Sized {
    /// Says what text is accepted, for error messages.
    const EXPECTED: &'static str;

    /// Parses the text.
    fn from_setting(text: &str) -> Option<Self>;

    /// Writes the value as it would be given.
    fn to_setting(&self) -> String;
}

macro_rules! parsed_setting {
    ($($type:ty => $expected:literal;)*) => {$(
        impl SettingValue for $type {
            const EXPECTED: &'static str = $expected;

            fn from_setting(text: &str) -> Option<Self> {
                text.parse().ok()
            }

            fn to_setting(&self) -> String {
                self.to_string()
            }
        }
    )*};
}

parsed_setting! {
    u16 => "a number from 0 to 65535";
    u32 => "a whole number";
    u64 => "a whole number";
    usize => "a whole number";
    f64 => "a number";
    bool => "`true` or `false`";
    SocketAddr => "an IP address and port, such as 127.0.0.1:7000";
}

macro_rules! name_setting {
    ($($type:ty),*) => {$(
        impl SettingValue for $type {
            const EXPECTED: &'static str = "a name without spaces or slashes";

            fn from_setting(text: &str) -> Option<Self> {
                let valid = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
                let good = !text.is_empty() && text.bytes().all(valid);
                good.then(|| Self::new(text))
            }

            fn to_setting(&self) -> String {
                self.to_string()
            }
        }
    )*};
}

name_setting!(EndpointName, EntryName, ServiceName, ZoneName);

impl SettingValue for String {
    const EXPECTED: &'static str = "text";

    fn from_setting(text: &str) -> Option<Self> {
        (!text.is_empty()).then(|| text.to_owned())
    }

    fn to_setting(&self) -> String {
        self.clone()
    }
}

impl SettingValue for PathBuf {
    const EXPECTED: &'static str = "a path";

    fn from_setting(text: &str) -> Option<Self> {
        (!text.is_empty()).then(|| PathBuf::from(text))
    }

    fn to_setting(&self) -> String {
        self.display().to_string()
    }
}

impl<T: SettingValue> SettingValue for Option<T> {
    const EXPECTED: &'static str = T::EXPECTED;

    fn from_setting(text: &str) -> Option<Self> {
        if text.is_empty() { Some(None) } else { T::from_setting(text).map(Some) }
    }

    fn to_setting(&self) -> String {
        self.as_ref().map_or_else(String::new, T::to_setting)
    }
}

/// One row of a table of settings.
#[derive(Debug, Clone, Copy)]
pub struct SettingSpec {
    /// Name of the flag, without dashes.
    pub flag: &'static str,
    /// Text used if neither flag nor variable is given; none if one of them must be.
    pub default: Option<&'static str>,
    /// Whether the value must not be shown.
    pub secret: bool,
    /// What it is for.
    pub help: &'static str,
}

/// One mistake in the settings.
#[derive(Debug, Clone, PartialEq, Error, Diagnostic)]
pub enum SettingError {
    /// A setting is missing.
    #[error("--{flag} is missing")]
    #[diagnostic(code(mulberryshed::settings::missing), help("give --{flag} or set {env}"))]
    Missing {
        /// The flag.
        flag: &'static str,
        /// The variable.
        env: String,
    },
    /// A value can't be parsed.
    #[error("--{flag} is `{value}`, expected {expected}")]
    #[diagnostic(code(mulberryshed::settings::invalid), help("it may also come from {env}"))]
    Invalid {
        /// The flag.
        flag: &'static str,
        /// The variable.
        env: String,
        /// The text given.
        value: String,
        /// What is accepted.
        expected: &'static str,
    },
}

/// Every mistake in the settings of one process.
#[derive(Debug, Clone, PartialEq, Error, Diagnostic)]
#[error("{} setting(s) can't be used", problems.len())]
#[diagnostic(code(mulberryshed::settings::rejected))]
pub struct SettingsError {
    /// The mistakes.
    #[related]
    pub problems: Vec<SettingError>,
}

/// Returns the environment variable of a flag: `MULBERRY_DATA_DIR` for `data-dir`.
pub fn env_name(flag: &str) -> String {
    format!("MULBERRY_{}", flag.replace('-', "_").to_uppercase())
}

/// Adds the rows, and `--check-settings`, to a command.
pub fn add_settings(command: Command, rows: &[SettingSpec]) -> Command {
    let check = Arg::new("check-settings")
        .long("check-settings")
        .action(ArgAction::SetTrue)
        .help("Print the settings that would be used, and exit");
    rows.iter().fold(command.arg(check), |command, row| {
        let mut arg =
            Arg::new(row.flag).long(row.flag).env(env_name(row.flag)).help(row.help.trim());
        if let Some(default) = row.default {
            arg = arg.default_value(default).hide_default_value(default.is_empty());
        }
        command.arg(arg.hide_env_values(row.secret).num_args(1))
    })
}

/// Reads one setting and notes a mistake.
pub fn read_setting<T: SettingValue>(
    matches: &ArgMatches,
    row: &SettingSpec,
    problems: &mut Vec<SettingError>,
) -> Option<T> {
    let env = env_name(row.flag);
    let Some(text) = matches.get_one::<String>(row.flag) else {
        problems.push(SettingError::Missing { flag: row.flag, env });
        return None;
    };
    let value = T::from_setting(text);
    if value.is_none() {
        let shown = if row.secret { "(hidden)" } else { text };
        problems.push(SettingError::Invalid {
            flag: row.flag,
            env,
            value: shown.to_owned(),
            expected: T::EXPECTED,
        });
    }
    value
}

/// Declares a struct of settings with its table, its parser and its printed form.
#[macro_export]
macro_rules! settings {
    (
        $(#[$meta:meta])*
        pub struct $name:ident {
            $(
                #[doc = $help:literal]
                $field:ident: $type:ty = $flag:literal $(, default $default:literal)?
                $(, secret $secret:literal)?;
            )*
        }
    ) => {
        $(#[$meta])*
        #[derive(Debug, Clone)]
        pub struct $name {
            $(#[doc = $help] pub $field: $type,)*
        }

        impl $name {
            /// The table of settings.
            pub const SPECS: &'static [$crate::settings::SettingSpec] = &[$(
                $crate::settings::SettingSpec {
                    flag: $flag,
                    default: $crate::settings!(@default $($default)?),
                    secret: $crate::settings!(@secret $($secret)?),
                    help: $help,
                },
            )*];

            /// Reads every setting, and reports every mistake at once.
            pub fn from_matches(
                matches: &::clap::ArgMatches,
            ) -> Result<Self, $crate::settings::SettingsError> {
                let mut problems = Vec::new();
                let mut rows = Self::SPECS.iter();
                $(
                    let $field: Option<$type> = rows
                        .next()
                        .and_then(|r| $crate::settings::read_setting(matches, r, &mut problems));
                )*
                match ($($field,)*) {
                    ($(Some($field),)*) if problems.is_empty() => Ok(Self { $($field,)* }),
                    _ => Err($crate::settings::SettingsError { problems }),
                }
            }

            /// Writes the settings as flags, one a line, without secrets.
            pub fn describe(&self) -> String {
                let values = [$($crate::settings::SettingValue::to_setting(&self.$field),)*];
                let mut text = String::new();
                for (row, value) in Self::SPECS.iter().zip(values) {
                    let shown = if row.secret { "(hidden)" } else { &value };
                    text.push_str(&format!("--{} {}\n", row.flag, shown));
                }
                text
            }
        }
    };
    (@default) => { None };
    (@default $default:literal) => { Some($default) };
    (@secret) => { false };
    (@secret $secret:literal) => { $secret };
}
