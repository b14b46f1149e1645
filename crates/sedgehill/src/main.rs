//! `sedgehill`: the command line of operators.
//!
//! Each module under [`commands`] parses the arguments of one command and calls one operation of
//! [`client`]. Results go to standard output, everything else to standard error.

mod client;
mod commands;
mod error;
mod output;

use std::process::ExitCode;

use crate::commands::{COMMANDS, CommandContext};
use crate::error::CliError;
use crate::output::OutputFormat;

const HELP_HEAD: &str = "\
sedgehill: the command line of the sedgehill cluster scheduler

usage: sedgehill [--boxes ADDRESS,...] [--format text|json] COMMAND [ARGUMENTS]

commands:
";

const HELP_TAIL: &str = "
options:
    --boxes ADDRESS,...    the admin addresses of boxes, tried in turn; default $SEDGEHILL_BOXES
    --format text|json     how results are printed; default text
    --help                 print this help, or that of a command
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
    let wants_help = args.contains("--help");
    let Some(name) = args.subcommand()? else {
        print!("{}", help());
        return if wants_help {
            Ok(())
        } else {
            Err(CliError::Usage("no command given".to_owned()))
        };
    };
    let Some(command) = COMMANDS.iter().find(|command| command.name == name) else {
        return Err(CliError::unknown_command(&name, COMMANDS.iter().map(|command| command.name)));
    };
    if wants_help {
        println!("usage: sedgehill {} {}\n\n{}", command.name, command.usage, command.about);
        return Ok(());
    }
    let boxes = boxes.or_else(|| std::env::var("SEDGEHILL_BOXES").ok());
    let context = CommandContext::new(boxes, format)?;
    (command.run)(&context, args)
}

fn help() -> String {
    let line = |command: &commands::Command| {
        format!("    {:<10} {:<42} {}\n", command.name, command.usage, command.about)
    };
    let commands: String = COMMANDS.iter().map(line).collect();
    format!("{HELP_HEAD}{commands}{HELP_TAIL}")
}
