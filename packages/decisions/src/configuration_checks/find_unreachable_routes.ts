import type {CallRoute} from '../calls/call_route.js';
import type {ConfigurationFieldNames} from './configuration_field_names.js';
import type {ConfigurationFinding} from './configuration_finding.js';
import {FindingKind} from './finding_kind.js';
import {FindingSeverity} from './finding_severity.js';

/** A port at the end of a host name; it is removed from the Host header before routes are compared. */
const PORT_PATTERN = /:\d*$/;

/** Finds the routes that `RouteTable` never chooses. */
export function findUnreachableRoutes(
  routes: readonly CallRoute[],
  {route: names}: ConfigurationFieldNames,
): ConfigurationFinding[] {
  const firstNames = new Map<string, string>();
  const findings: ConfigurationFinding[] = [];
  for (const {name, hostName, pathPrefix} of routes) {
    const report = (problem: string) =>
      void findings.push({
        kind: FindingKind.UNREACHABLE_ROUTE,
        severity: FindingSeverity.ERROR,
        subject: `route "${name}"`,
        message: `gets no calls: ${problem}`,
      });
    const match = JSON.stringify([hostName, pathPrefix]);
    const first = firstNames.get(match);
    if (first === undefined) firstNames.set(match, name);
    if (hostName !== hostName.toLowerCase())
      report(
        `${names.hostName} has upper case letters, and is compared in lower case; write it in lower case`,
      );
    else if (PORT_PATTERN.test(hostName))
      report(
        `${names.hostName} has a port, and is compared without one; remove the port`,
      );
    else if (pathPrefix.includes('?'))
      report(
        `${names.pathPrefix} has a query, and is compared with the path alone; remove the query`,
      );
    else if (first !== undefined)
      report(
        `the earlier route "${first}" has the same ${names.hostName} and ${names.pathPrefix}; remove one of them or change its ${names.pathPrefix}`,
      );
  }
  return findings;
}
