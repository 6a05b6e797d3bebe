import type {CallRoute} from '../calls/call_route.js';
import type {ConfigurationFinding} from './configuration_finding.js';
import type {DeclaredConfiguration} from './declared_configuration.js';
import {FindingKind} from './finding_kind.js';
import {FindingSeverity} from './finding_severity.js';

/** Finds names that occur twice, services that are not configured, and invalid weights. */
export function findNamingErrors({
  configuration,
  serviceNames,
  workspaces = [],
}: DeclaredConfiguration): ConfigurationFinding[] {
  const {routes, services} = configuration;
  return [
    ...findDuplicates('route', getNames(routes)),
    ...findDuplicates('service', serviceNames),
    ...findDuplicates('workspace', getNames(workspaces)),
    ...routes.flatMap(route => [
      ...findUnknownServices(route, services),
      ...findWeightErrors(route),
    ]),
  ];
}

function getNames(entries: ReadonlyArray<{readonly name: string}>): string[] {
  return entries.map(({name}) => name);
}

function findDuplicates(
  entryKind: string,
  names: readonly string[],
): ConfigurationFinding[] {
  const counts = new Map<string, number>();
  for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1);
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([name, count]) => ({
      kind: FindingKind.DUPLICATE_NAME,
      severity: FindingSeverity.ERROR,
      subject: `${entryKind} "${name}"`,
      message: `occurs ${count} times; give each ${entryKind} its own name`,
    }));
}

function findUnknownServices(
  {name, targets}: CallRoute,
  services: ReadonlyMap<string, unknown>,
): ConfigurationFinding[] {
  return targets
    .filter(({service}) => !services.has(service))
    .map(({service}) => ({
      kind: FindingKind.UNKNOWN_SERVICE,
      severity: FindingSeverity.ERROR,
      subject: `route "${name}"`,
      message:
        service === ''
          ? 'names no service; name one that is configured'
          : `names the service "${service}", which is not configured; add it or correct the name`,
    }));
}

function findWeightErrors({name, targets}: CallRoute): ConfigurationFinding[] {
  const weights = targets.map(({weight}) => weight);
  const isEachValid = weights.every(
    weight => Number.isFinite(weight) && weight >= 0,
  );
  if (isEachValid && weights.some(weight => weight > 0)) return [];
  return [
    {
      kind: FindingKind.INVALID_WEIGHT,
      severity: FindingSeverity.ERROR,
      subject: `route "${name}"`,
      message:
        'divides its calls by weights that are invalid; give each service a weight of 0 or more, and one of them more than 0',
    },
  ];
}
