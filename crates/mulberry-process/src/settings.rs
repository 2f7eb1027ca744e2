//! Settings of a process, given as flags or environment variables. Each process declares its own
//! with [`settings!`](crate::settings!).

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

/// A type of value that a flag or environment variable can hold.
pub trait SettingValue: Sized {
    /// Description of the accepted text, used in error messages.
    const EXPECTED: &'static str;

    /// Parses the text. Returns none if it is invalid.
    fn from_setting(text: &str) -> Option<Self>;

    /// Formats the value as text that [`SettingValue::from_setting`] accepts.
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
                let is_name = !text.is_empty() && text.bytes().all(valid);
                is_name.then(|| Self::new(text))
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

/// Declaration of one setting.
#[derive(Debug, Clone, Copy)]
pub struct SettingSpec {
    /// Name of the flag, without dashes.
    pub flag: &'static str,
    /// Text used if neither the flag nor the environment variable is given, or none if the setting
    /// is required.
    pub default: Option<&'static str>,
    /// Whether the value is hidden in help, errors and printed settings.
    pub secret: bool,
    /// Help text of the flag.
    pub help: &'static str,
}

/// An error in one setting.
#[derive(Debug, Clone, PartialEq, Error, Diagnostic)]
pub enum SettingError {
    /// A required setting is given neither as a flag nor as an environment variable.
    #[error("--{flag} is missing")]
    #[diagnostic(
        code(mulberryshed::settings::missing),
        help("give --{flag} or set the environment variable {env}")
    )]
    Missing {
        /// Name of the flag, without dashes.
        flag: &'static str,
        /// Name of the environment variable.
        env: String,
    },
    /// The text of a setting can't be parsed.
    #[error("--{flag} is `{value}`, expected {expected}")]
    #[diagnostic(
        code(mulberryshed::settings::invalid),
        help("the value may also come from the environment variable {env}")
    )]
    Invalid {
        /// Name of the flag, without dashes.
        flag: &'static str,
        /// Name of the environment variable.
        env: String,
        /// Text that was given, hidden for secrets.
        value: String,
        /// Description of the accepted text.
        expected: &'static str,
    },
}

/// All errors in the settings of one process.
#[derive(Debug, Clone, PartialEq, Error, Diagnostic)]
#[error("{} missing or invalid setting(s)", errors.len())]
#[diagnostic(code(mulberryshed::settings::rejected))]
pub struct SettingsError {
    /// Errors of the individual settings.
    #[related]
    pub errors: Vec<SettingError>,
}

/// Returns the environment variable of a flag: `MULBERRY_DATA_DIR` for `data-dir`.
pub fn env_name(flag: &str) -> String {
    format!("MULBERRY_{}", flag.replace('-', "_").to_uppercase())
}

/// Adds a flag for each setting, and `--check-settings`, to a command.
pub fn add_settings(command: Command, specs: &[SettingSpec]) -> Command {
    let check = Arg::new("check-settings")
        .long("check-settings")
        .action(ArgAction::SetTrue)
        .help("Print the settings that would be used, and exit");
    specs.iter().fold(command.arg(check), |command, spec| {
        let mut arg =
            Arg::new(spec.flag).long(spec.flag).env(env_name(spec.flag)).help(spec.help.trim());
        if let Some(default) = spec.default {
            arg = arg.default_value(default).hide_default_value(default.is_empty());
        }
        command.arg(arg.hide_env_values(spec.secret).num_args(1))
    })
}

/// Reads one setting. If it is missing or invalid, adds the error to `errors` and returns none.
pub fn read_setting<T: SettingValue>(
    matches: &ArgMatches,
    spec: &SettingSpec,
    errors: &mut Vec<SettingError>,
) -> Option<T> {
    let env = env_name(spec.flag);
    let Some(text) = matches.get_one::<String>(spec.flag) else {
        errors.push(SettingError::Missing { flag: spec.flag, env });
        return None;
    };
    let value = T::from_setting(text);
    if value.is_none() {
        let shown = if spec.secret { "(hidden)" } else { text };
        errors.push(SettingError::Invalid {
            flag: spec.flag,
            env,
            value: shown.to_owned(),
            expected: T::EXPECTED,
        });
    }
    value
}

/// Declares a struct of settings with the declarations of its flags, its parser and its printed
/// form. The doc comment of a field becomes the help text of its flag.
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
            /// Declarations of the settings, in the order of the fields.
            pub const SPECS: &'static [$crate::settings::SettingSpec] = &[$(
                $crate::settings::SettingSpec {
                    flag: $flag,
                    default: $crate::settings!(@default $($default)?),
                    secret: $crate::settings!(@secret $($secret)?),
                    help: $help,
                },
            )*];

            /// Reads every setting. Fails with the errors of all settings, not only the first one.
            pub fn from_matches(
                matches: &::clap::ArgMatches,
            ) -> Result<Self, $crate::settings::SettingsError> {
                let mut errors = Vec::new();
                let mut specs = Self::SPECS.iter();
                $(
                    let $field: Option<$type> = specs
                        .next()
                        .and_then(|s| $crate::settings::read_setting(matches, s, &mut errors));
                )*
                match ($($field,)*) {
                    ($(Some($field),)*) if errors.is_empty() => Ok(Self { $($field,)* }),
                    _ => Err($crate::settings::SettingsError { errors }),
                }
            }

            /// Returns the settings as flags, one per line, with secrets hidden.
            pub fn describe(&self) -> String {
                let values = [$($crate::settings::SettingValue::to_setting(&self.$field),)*];
                let mut text = String::new();
                for (spec, value) in Self::SPECS.iter().zip(values) {
                    let shown = if spec.secret { "(hidden)" } else { &value };
                    text.push_str(&format!("--{} {}\n", spec.flag, shown));
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
