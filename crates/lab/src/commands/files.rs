//! Input files and output folders of subcommands.
use std::path::{Path, PathBuf};

use quartzhub_lab::scenario::LabError;

use crate::cli::OutArgs;

pub fn read(file: &Path) -> Result<String, LabError> {
    std::fs::read_to_string(file).map_err(|error| LabError(format!("{}: {error}", file.display())))
}

/// Adds the file's name to an error.
pub fn in_file(file: &Path) -> impl Fn(LabError) -> LabError + '_ {
    move |error| LabError(format!("{}: {error}", file.display()))
}

/// Returns the file's name without its extension, or `default` if the path has no file name.
pub fn stem(file: &Path, default: &str) -> String {
    file.file_stem().map_or(default.to_owned(), |stem| {
        stem.to_string_lossy().into_owned()
    })
}

/// Creates the output folder and checks that it is writable, so that a run doesn't fail at its end.
pub fn prepare_folder(out: &OutArgs) -> Result<Option<PathBuf>, LabError> {
    let Some(folder) = out.out.clone() else {
        return Ok(None);
    };
    let error_in_folder =
        |error: std::io::Error| LabError(format!("{}: {error}", folder.display()));
    std::fs::create_dir_all(&folder).map_err(error_in_folder)?;
    let test_file = folder.join(".quartzhub-lab");
    std::fs::write(&test_file, "").map_err(error_in_folder)?;
    std::fs::remove_file(&test_file).map_err(error_in_folder)?;
    Ok(Some(folder))
}
