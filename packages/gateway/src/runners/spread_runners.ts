import type {Runner} from './runner.js';

/**
 * Orders runners so that each service, version and place comes early: of these groups, the first runner of each comes
 * first, then the second of each, and so on. The order within a group, and that of the groups, is kept.
 */
export function spreadRunners(runners: readonly Runner[]): Runner[] {
  const groups = new Map<string, Runner[]>();
  for (const runner of runners) {
    const key = groupOf(runner);
    const group = groups.get(key);
    if (group) group.push(runner);
    else groups.set(key, [runner]);
  }
  const depth = Math.max(0, ...[...groups.values()].map(({length}) => length));
  return Array.from({length: depth}, (_, i) =>
    [...groups.values()].flatMap(group => group.slice(i, i + 1)),
  ).flat();
}

function groupOf({entry: {service, version, place}}: Runner): string {
  return JSON.stringify([service, version, place]);
}
