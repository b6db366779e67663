#!/usr/bin/env node
/**
 * `toucandyke`, the command-line tool of the operators.
 */
import { Builtins, Cli } from 'clipanion';
import { ConfigCheckCommand } from './commands/configCheckCommand.js';
import { ConfigPublishCommand } from './commands/configPublishCommand.js';
import { ConfigShowCommand } from './commands/configShowCommand.js';
import { DemoCommand } from './commands/demoCommand.js';
import { DrainCommand } from './commands/drainCommand.js';
import { ExplainCommand } from './commands/explainCommand.js';
import { ReportBurnCommand } from './commands/reportBurnCommand.js';
import { StatusCommand } from './commands/statusCommand.js';

const cli = new Cli({
  binaryLabel: 'toucandyke',
  binaryName: 'toucandyke',
  binaryVersion: '0.1.0',
});
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
cli.register(ConfigCheckCommand);
cli.register(ConfigPublishCommand);
cli.register(ConfigShowCommand);
cli.register(DemoCommand);
cli.register(DrainCommand);
cli.register(ExplainCommand);
cli.register(ReportBurnCommand);
cli.register(StatusCommand);

process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
