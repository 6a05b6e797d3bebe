/** The daemon, for tools that run it in their own process. */
export {createKernel} from './create_kernel.js';
export {runDaemon} from './run_daemon.js';
export {daemonTokens} from './daemon_tokens.js';
export {pluginRegistry} from '@bayspool/kernel';
