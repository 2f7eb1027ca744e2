//! Finds the source files and describes what is wrong with them.

use std::fmt;
use std::path::Path;
use std::path::PathBuf;

use miette::Diagnostic;
use thiserror::Error;

/// An error of reading the tree.
#[derive(Debug, Error, Diagnostic)]
#[error("can't read {path}: {source}")]
#[diagnostic(code(mulberryshed::tidy::read))]
pub struct TidyError {
    /// The file or folder.
    pub path: String,
    /// What the system says.
    pub source: std::io::Error,
}

/// One thing to mend.
#[derive(Debug, Clone, PartialEq)]
pub struct TidyProblem {
    /// The file.
    pub path: PathBuf,
    /// The line, from one; zero for the whole file.
    pub line: usize,
    /// What to do.
    pub advice: String,
}

impl fmt::Display for TidyProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.path.display(), self.line, self.advice)
    }
}

/// Returns the root of the workspace.
pub fn workspace_root() -> PathBuf {
    let own = Path::new(env!("CARGO_MANIFEST_DIR"));
    own.ancestors().nth(2).unwrap_or(own).to_path_buf()
}

/// Reads a file.
pub fn read_text(path: &Path) -> Result<String, TidyError> {
    std::fs::read_to_string(path)
        .map_err(|source| TidyError { path: path.display().to_string(), source })
}

/// Reads every Rust file below a folder.
pub fn read_sources(folder: &Path) -> Result<Vec<(PathBuf, String)>, TidyError> {
    let failed = |path: &Path| {
        let path = path.display().to_string();
        move |source| TidyError { path, source }
    };
    let mut sources = Vec::new();
    let mut folders = vec![folder.to_path_buf()];
    while let Some(folder) = folders.pop() {
        for found in std::fs::read_dir(&folder).map_err(failed(&folder))? {
            let path = found.map_err(failed(&folder))?.path();
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
