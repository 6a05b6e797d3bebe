import type {CallConfiguration} from '../calls/call_configuration.js';
import type {ConfigurationFieldNames} from './configuration_field_names.js';
import type {ConfigurationFinding} from './configuration_finding.js';
import type {DeclaredConfiguration} from './declared_configuration.js';
import type {DeclaredWorkspace} from './declared_workspace.js';
import {FindingKind} from './finding_kind.js';
import {FindingSeverity} from './finding_severity.js';
import {findUnreachableRoutes} from './find_unreachable_routes.js';

/** Finds entries that no call can match, and keys that match more than one workspace. */
export function findUnmatchedEntries(
  {configuration, workspaces = []}: DeclaredConfiguration,
  names: ConfigurationFieldNames,
): ConfigurationFinding[] {
  return [
    ...findUnreachableRoutes(configuration.routes, names),
    ...findUnusedServices(configuration),
    ...findWorkspacesWithoutKeys(workspaces),
    ...findSharedKeys(workspaces),
  ];
}

function findUnusedServices({
  routes,
  services,
}: CallConfiguration): ConfigurationFinding[] {
  const used = new Set(
    routes.flatMap(({targets}) => targets.map(({service}) => service)),
  );
  return [...services.keys()]
    .filter(name => !used.has(name))
    .map(name => ({
      kind: FindingKind.UNUSED_SERVICE,
      severity: FindingSeverity.WARNING,
      subject: `service "${name}"`,
      message: 'is used by no route; name it in a route or remove it',
    }));
}

function findWorkspacesWithoutKeys(
  workspaces: readonly DeclaredWorkspace[],
): ConfigurationFinding[] {
  return workspaces
    .filter(({keys}) => keys.length === 0)
    .map(({name}) => ({
      kind: FindingKind.WORKSPACE_WITHOUT_KEYS,
      severity: FindingSeverity.WARNING,
      subject: `workspace "${name}"`,
      message: 'has no API key, so none of its calls is accepted; add a key',
    }));
}

/** Reports each pair of workspaces once, with the number of the keys that both hold. */
function findSharedKeys(
  workspaces: readonly DeclaredWorkspace[],
): ConfigurationFinding[] {
  const holders = new Map<string, string>();
  const counts = new Map<string, {holder: string; other: string; n: number}>();
  for (const {name, keys} of workspaces) {
    for (const key of new Set(keys)) {
      const other = holders.get(key);
      holders.set(key, name);
      if (other === undefined || other === name) continue;
      const pair = JSON.stringify([name, other]);
      const n = (counts.get(pair)?.n ?? 0) + 1;
      counts.set(pair, {holder: name, other, n});
    }
  }
  return [...counts.values()].map(({holder, other, n}) => ({
    kind: FindingKind.SHARED_KEY,
    severity: FindingSeverity.ERROR,
    subject: `workspace "${holder}"`,
    message: `holds ${n} API key${n === 1 ? '' : 's'} of the workspace "${other}", whose calls would count as its own; leave each key to one workspace`,
  }));
}
