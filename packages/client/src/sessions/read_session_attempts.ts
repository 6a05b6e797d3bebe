import type {LogLine} from '../explain/log_line.js';
import type {SessionAttempt} from './session_attempt.js';

const UNKNOWN = '?';

/** Makes a record of each attempt of a call that has a session, in the order of the lines. */
export function readSessionAttempts(
  lines: Iterable<LogLine>,
): SessionAttempt[] {
  const accepted = new Map<string, LogLine>();
  const attempts: SessionAttempt[] = [];
  for (const line of lines) {
    const {request, event} = line;
    if (request === undefined) continue;
    if (event === 'request_accepted') accepted.set(request, line);
    if (event !== 'runner_chosen') continue;
    const first = accepted.get(request);
    // Skips calls without a session, and calls whose first line is missing: their session is not known.
    if (first?.session === undefined) continue;
    attempts.push(toAttempt(first, line));
  }
  return attempts;
}

function toAttempt(first: LogLine, chosen: LogLine): SessionAttempt {
  const {rememberedVersion} = chosen;
  return {
    request: String(chosen.request),
    session: String(first.session),
    service: String(chosen.service),
    host: chosen.host,
    acceptedMs: Date.parse(first.time),
    chosenMs: Date.parse(chosen.time),
    version: String(chosen.version),
    reason: String(chosen.versionReason ?? UNKNOWN),
    remembered:
      rememberedVersion === undefined ? undefined : String(rememberedVersion),
  };
}
