import type {Command} from './command.js';
import {checkCommand} from './commands/check_command.js';
import {configCommand} from './commands/config_command.js';
import {confirmCommand} from './commands/confirm_command.js';
import {explainCommand} from './commands/explain_command.js';
import {hashKeyCommand} from './commands/hash_key_command.js';
import {intentCommand} from './commands/intent_command.js';
import {intentsCommand} from './commands/intents_command.js';
import {lossesCommand} from './commands/losses_command.js';
import {sessionsCommand} from './commands/sessions_command.js';
import {statusCommand} from './commands/status_command.js';
import {watchCommand} from './commands/watch_command.js';

/** All commands, in the order in which the help lists them. */
export const commands: readonly Command[] = [
  statusCommand,
  intentCommand,
  confirmCommand,
  watchCommand,
  intentsCommand,
  configCommand,
  explainCommand,
  lossesCommand,
  sessionsCommand,
  checkCommand,
  hashKeyCommand,
];
