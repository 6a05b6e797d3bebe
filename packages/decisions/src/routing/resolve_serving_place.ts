import type {Configuration} from '../configuration/configuration.js';

/** The place that runs a workspace's new work: its home, or the place that took the home over. */
export function resolveServingPlace(
  config: Configuration,
  home: string,
): string {
  return config.places[home]?.handedOverTo ?? home;
}
