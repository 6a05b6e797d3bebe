import type {CallRoute} from '../calls/call_route.js';

/** Stands between a route and a model: header values, as which models are sent, don't contain it. */
const SEPARATOR = '\n';

/**
 * Returns the name under which durations of a route's calls are kept: the models of a route that chooses among several
 * take unlike times, so each has its own.
 *
 * @param model the model that runs the call; for routes without models it makes no difference
 */
export function durationKeyOf(
  {name, models}: Pick<CallRoute, 'name' | 'models'>,
  model: string | undefined,
): string {
  if (models.length === 0 || model === undefined) return name;
  return `${name}${SEPARATOR}${model}`;
}
