import type {LogLine} from '../explain/log_line.js';
import type {SessionRun} from './session_run.js';

const UNKNOWN = '?';

/** Makes a record of each runner that was chosen for a call with a session, in the order of the lines. */
export function readSessionRuns(lines: Iterable<LogLine>): SessionRun[] {
  const accepted = new Map<string, LogLine>();
  const runs: SessionRun[] = [];
  for (const line of lines) {
    const {request, event} = line;
    if (request === undefined) continue;
    if (event === 'request_accepted') accepted.set(request, line);
    if (event !== 'runner_chosen') continue;
    const first = accepted.get(request);
    // A call without a session belongs to none; without its first line, its session is not known.
    if (first?.session === undefined) continue;
    runs.push(toRun(first, line));
  }
  return runs;
}

function toRun(first: LogLine, chosen: LogLine): SessionRun {
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
