import type {ConfigurationBelief} from '../beliefs/configuration_belief.js';
import type {RunnerDirectory} from '../beliefs/runner_directory.js';
import type {CallDoor} from '../calls/call_door.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {NewsLoop} from '../peers/news_loop.js';
import type {Roster} from '../peers/roster.js';

interface Options {
  readonly metrics: GatewayMetrics;
  readonly belief: ConfigurationBelief;
  readonly directory: RunnerDirectory;
  readonly door: CallDoor;
  readonly news: NewsLoop;
  readonly roster: Roster;
}

/** Registers the figures that are read from a host's parts when the metrics are asked for. */
export function observeParts({
  metrics,
  belief,
  directory,
  door,
  news,
  roster,
}: Options): void {
  metrics.observe(
    'open_requests',
    'Requests not answered yet',
    () => door.openCalls,
  );
  metrics.observe(
    'configuration_version',
    'Configuration in force',
    () => belief.current?.version ?? 0,
  );
  metrics.observe(
    'configuration_age_seconds',
    'Time since it was known to be the newest',
    () => belief.ageMs / 1000,
  );
  metrics.observe('runners', 'Runners known', () => directory.all().length);
  metrics.observe(
    'runners_ejected',
    'Runners left alone for a time',
    () => directory.all().filter(r => r.health.isEjected).length,
  );
  metrics.observe('hosts', 'Hosts known to live', () => roster.living().length);
  metrics.observe('reads_store', 'Whether this host reads the store', () =>
    Number(news.readsStore),
  );
  metrics.observe('resident_bytes', 'Memory of the process', () =>
    process.memoryUsage.rss(),
  );
}
