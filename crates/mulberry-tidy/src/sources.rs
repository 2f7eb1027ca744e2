//! Reads the source files and defines how violations are reported.

use std::fmt;
use std::path::Path;
use std::path::PathBuf;

use miette::Diagnostic;
use thiserror::Error;

/// A file or folder of the source tree can't be read.
#[derive(Debug, Error, Diagnostic)]
#[error("can't read {path}: {source}")]
#[diagnostic(code(mulberryshed::tidy::read))]
pub struct TidyError {
    /// Path of the file or folder.
    pub path: String,
    /// Error from the operating system.
    pub source: std::io::Error,
}

/// A violation of a rule of the source tree, displayed as `path:line: advice`.
#[derive(Debug, Clone, PartialEq)]
pub struct TidyViolation {
    /// Path of the file.
    pub path: PathBuf,
    /// Line number, counted from 1; 0 for the whole file.
    pub line: usize,
    /// How to fix it.
    pub advice: String,
}

impl fmt::Display for TidyViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.path.display(), self.line, self.advice)
    }
}

/// Returns the root folder of the workspace, two levels above this crate.
pub fn workspace_root() -> PathBuf {
    let crate_root = Path::new(env!("CARGO_MANIFEST_DIR"));
    crate_root.ancestors().nth(2).unwrap_or(crate_root).to_path_buf()
}

/// Reads a text file.
pub fn read_text(path: &Path) -> Result<String, TidyError> {
    std::fs::read_to_string(path)
        .map_err(|source| TidyError { path: path.display().to_string(), source })
}

/// Reads every Rust file below a folder, and returns paths and texts ordered by path.
pub fn read_sources(folder: &Path) -> Result<Vec<(PathBuf, String)>, TidyError> {
    let read_error = |path: &Path| {
        let path = path.display().to_string();
        move |source| TidyError { path, source }
    };
    let mut sources = Vec::new();
    let mut folders = vec![folder.to_path_buf()];
    while let Some(folder) = folders.pop() {
        for found in std::fs::read_dir(&folder).map_err(read_error(&folder))? {
            let path = found.map_err(read_error(&folder))?.path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|e| e == "rs") {
                let text = read_text(&path)?;
                sources.push((path, text));
            }
        }
    }
    sources.sort();
    Ok(sources)
}
