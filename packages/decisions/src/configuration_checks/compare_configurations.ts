import type {ConfigurationComparison} from './configuration_comparison.js';
import type {ConfigurationFieldNames} from './configuration_field_names.js';
import type {DeclaredConfiguration} from './declared_configuration.js';
import {findDifferences} from './find_differences.js';

/** Compares a configuration with the one in force. */
export function compareConfigurations(
  inForce: DeclaredConfiguration,
  next: DeclaredConfiguration,
  names: ConfigurationFieldNames,
): ConfigurationComparison {
  const versionBefore = inForce.configuration.version;
  const versionAfter = next.configuration.version;
  return {
    versionBefore,
    versionAfter,
    versionRises: versionAfter > versionBefore,
    differences: findDifferences(inForce, next, names),
  };
}
