/** Checks of a configuration before it is sent: pure functions without I/O. */
export {checkConfiguration} from './check_configuration.js';
export {checkVersion} from './check_version.js';
export {compareConfigurations} from './compare_configurations.js';
export type {ConfigurationComparison} from './configuration_comparison.js';
export type {ConfigurationDifference} from './configuration_difference.js';
export type {ConfigurationFieldNames} from './configuration_field_names.js';
export type {ConfigurationFinding} from './configuration_finding.js';
export type {DeclaredConfiguration} from './declared_configuration.js';
export type {DeclaredWorkspace} from './declared_workspace.js';
export {FindingKind} from './finding_kind.js';
export {FindingSeverity} from './finding_severity.js';
