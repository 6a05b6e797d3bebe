import {RequestPacer} from '@bayspool/kernel';
import type {Clock, Logger, Metrics} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Shortest time between two warnings, in ms: clients may make connections pause without end. */
const WARNING_INTERVAL_MS = 1_000;

/** Creates the pacer of this process, which counts and logs what it does. */
export function createRequestPacer({
  clock,
  logger,
  metrics,
}: Options): RequestPacer {
  const pacer = new RequestPacer();
  const paused = metrics.counter(
    'paused_connections_total',
    'Connections that were read no further for a time, as their clients send more than this host can hold.',
    ['reason'],
  );
  const shed = metrics.counter(
    'shed_connections_total',
    'Connections that were closed, as they held most of too many bytes that were read and not parsed.',
  );
  let lastWarningAt = -Infinity;
  const warn = (message: string, fields: Readonly<Record<string, unknown>>) => {
    const now = clock.now();
    if (now - lastWarningAt < WARNING_INTERVAL_MS) return;
    lastWarningAt = now;
    logger.warn(message, fields);
  };
  pacer.observe({
    onPaused: reason => {
      paused.inc({reason});
      warn('connections are read no further for now', {reason});
    },
    onShed: unparsedBytes => {
      shed.inc();
      warn('connections with many unparsed bytes are closed', {unparsedBytes});
    },
  });
  return pacer;
}
