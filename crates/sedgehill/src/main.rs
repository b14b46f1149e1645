//! `sedgehill`: the command-line client for operators.
//!
//! Each module under [`commands`] parses the arguments of one command and calls operations of
//! [`client`]. Results go to standard output, everything else to standard error.

mod client;
mod commands;
mod error;
mod output;

use std::process::ExitCode;

use crate::commands::{COMMANDS, CommandContext};
use crate::error::CliError;
use crate::output::OutputFormat;

const HELP_HEADER: &str = "\
sedgehill: the command-line client of the sedgehill cluster scheduler

usage: sedgehill [--boxes ADDRESS,...] [--format text|json] COMMAND [ARGUMENTS]

commands:
";

const HELP_FOOTER: &str = "
options:
    --boxes ADDRESS,...    the admin addresses of boxes, tried in turn; default $SEDGEHILL_BOXES
    --format text|json     how results are printed; default text
    --help                 print this help, or the help of a command
    --version              print the version

exit codes: 0 done, 1 failed, 2 wrong usage, 3 wrong file, 4 conflict, 5 outcome unknown
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error.print();
            ExitCode::from(error.exit_code())
        }
    }
}

fn run() -> Result<(), CliError> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains("--version") {
        println!("sedgehill {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let boxes: Option<String> = args.opt_value_from_str("--boxes")?;
    let format = args.opt_value_from_str("--format")?.unwrap_or(OutputFormat::Text);
    let help_requested = args.contains("--help");
    let Some(name) = args.subcommand()? else {
        print!("{}", help());
        return if help_requested {
            Ok(())
        } else {
            Err(CliError::Usage("no command given".to_owned()))
        };
    };
    let Some(command) = COMMANDS.iter().find(|command| command.name == name) else {
        return Err(CliError::unknown_command(&name, COMMANDS.iter().map(|command| command.name)));
    };
    if help_requested {
        println!("usage: sedgehill {} {}\n\n{}", command.name, command.usage, command.about);
        return Ok(());
    }
    let boxes = boxes.or_else(|| std::env::var("SEDGEHILL_BOXES").ok());
    let context = CommandContext::new(boxes, format)?;
    (command.run)(&context, args)
}

/// Returns the text of `sedgehill --help`.
fn help() -> String {
    let command_line = |command: &commands::Command| {
        format!("    {:<10} {:<42} {}\n", command.name, command.usage, command.about)
    };
    let commands: String = COMMANDS.iter().map(command_line).collect();
    format!("{HELP_HEADER}{commands}{HELP_FOOTER}")
}
