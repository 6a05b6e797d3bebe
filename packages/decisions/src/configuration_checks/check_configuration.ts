import type {ConfigurationFieldNames} from './configuration_field_names.js';
import type {ConfigurationFinding} from './configuration_finding.js';
import type {DeclaredConfiguration} from './declared_configuration.js';
import {findLimitConflicts} from './find_limit_conflicts.js';
import {findNamingErrors} from './find_naming_errors.js';
import {findUnmatchedEntries} from './find_unmatched_entries.js';

/** Checks a configuration by itself. The time grows linearly with the number of its entries. */
export function checkConfiguration(
  declared: DeclaredConfiguration,
  names: ConfigurationFieldNames,
): ConfigurationFinding[] {
  return [
    ...findNamingErrors(declared),
    ...findUnmatchedEntries(declared, names),
    ...findLimitConflicts(declared.configuration, names),
  ];
}
