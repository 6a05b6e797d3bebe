import type {Configuration} from '../configuration/configuration.js';

/** Returns the place that runs a workspace's new requests: its home, or the place that the home is handed over to. */
export function resolveServingPlace(
  config: Configuration,
  home: string,
): string {
  return config.places[home]?.handedOverTo ?? home;
}
