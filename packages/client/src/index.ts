/** The operators' command line, as a library. */
export {OperatorApi} from './operator_api.js';
export {commands} from './commands.js';
