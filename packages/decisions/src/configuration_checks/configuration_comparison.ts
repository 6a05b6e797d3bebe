import type {ConfigurationDifference} from './configuration_difference.js';

/** How a configuration differs from the one in force. */
export interface ConfigurationComparison {
  /** Version in force. */
  readonly versionBefore: number;
  readonly versionAfter: number;
  /** Whether hosts would replace the configuration in force: they ignore one whose version is not higher. */
  readonly versionRises: boolean;
  readonly differences: readonly ConfigurationDifference[];
}
