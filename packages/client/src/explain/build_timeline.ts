import {compareLines} from './compare_lines.js';
import type {LogLine} from './log_line.js';
import type {RequestTimeline} from './request_timeline.js';

/** Events that change the state known to a host, and the topic of each; a newer event replaces an older one on its topic. */
const TOPICS: Readonly<Record<string, string>> = {
  configuration_in_force: 'configuration',
  freshness_lost: 'freshness',
  freshness_regained: 'freshness',
  store_lost: 'store',
  store_regained: 'store',
  source_changed: 'source',
  readiness_changed: 'readiness',
  process_started: 'process',
  process_stopping: 'process',
  process_stopped: 'process',
  runner_seen: 'runner',
  runner_leaving: 'runner',
  runner_gone: 'runner',
  runner_lapsed: 'runner',
  runner_ejected: 'runner',
  runner_limit_changed: 'limit',
  runner_room_changed: 'room',
  rollout_ordered: 'roll-out',
  rollout_judged: 'roll-out',
  rollout_phase: 'roll-out',
  rollout_written: 'roll-out',
  peer_lost: 'peer',
  peer_regained: 'peer',
  key_withdrawn: 'key',
};

/** Collects the lines of a request, the state known to its hosts when it began, and the changes while it ran. */
export function buildTimeline(
  all: readonly LogLine[],
  request: string,
): RequestTimeline {
  const lines = all.filter(line => line.request === request).sort(compareLines);
  const hosts = new Set(lines.map(line => line.host));
  const runners = new Set(lines.map(line => line.runner));
  const related = all
    .filter(line => line.event in TOPICS && hosts.has(line.host))
    .filter(({runner}) => runner === undefined || runners.has(runner))
    .sort(compareLines);
  const from = lines[0]?.time ?? '';
  const to = lines[lines.length - 1]?.time ?? '';
  return {
    request,
    lines,
    beliefs: keepNewestByTopic(related.filter(line => line.time <= from)),
    changes: related.filter(line => line.time > from && line.time <= to),
  };
}

function keepNewestByTopic(lines: readonly LogLine[]): LogLine[] {
  const newest = new Map<string, LogLine>();
  for (const line of lines) {
    const subject = String(line.runner ?? line.peer ?? line.service ?? '');
    const key = `${line.host}|${TOPICS[line.event]}|${subject}`;
    newest.delete(key);
    newest.set(key, line);
  }
  return [...newest.values()].sort(compareLines);
}
