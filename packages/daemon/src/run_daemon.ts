import {sleep, tokens, type Kernel} from '@bayspool/kernel';
import {daemonTokens} from './daemon_tokens.js';

/** Runs the daemon until `signal` aborts, then shuts it down gracefully. */
export async function runDaemon(
  kernel: Kernel,
  signal: AbortSignal,
): Promise<void> {
  const {logger, container} = kernel;
  await kernel.start();
  logger.info('running', {host: container.get(daemonTokens.hostIdentity).id});
  if (!signal.aborted)
    await new Promise(resolve =>
      signal.addEventListener('abort', resolve, {once: true}),
    );
  const leavingState = container.get(daemonTokens.leavingState);
  logger.info('leaving');
  leavingState.beginShutdown();
  await sleep(container.get(tokens.clock), leavingState.gracePeriodMs);
  await kernel.stop();
  logger.info('left');
}
