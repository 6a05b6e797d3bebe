import type {ConfigurationComparison} from './configuration_comparison.js';
import type {ConfigurationFieldNames} from './configuration_field_names.js';
import type {ConfigurationFinding} from './configuration_finding.js';
import {FindingKind} from './finding_kind.js';
import {FindingSeverity} from './finding_severity.js';

/** Finds a change that hosts would ignore. The unchanged configuration in force is in order. */
export function checkVersion(
  comparison: ConfigurationComparison,
  {version: name}: ConfigurationFieldNames,
): ConfigurationFinding[] {
  const {versionBefore, versionAfter, versionRises, differences} = comparison;
  const isUnchanged =
    versionBefore === versionAfter && differences.length === 0;
  if (versionRises || isUnchanged) return [];
  return [
    {
      kind: FindingKind.VERSION_NOT_RAISED,
      severity: FindingSeverity.ERROR,
      subject: 'configuration',
      message: `${name} ${versionAfter} is not over ${versionBefore}, which is in force, so hosts would ignore the configuration; raise it`,
    },
  ];
}
