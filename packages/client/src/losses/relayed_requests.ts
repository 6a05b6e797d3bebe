import type {LogLine} from '../explain/log_line.js';

/** The requests that hosts took from other hosts, as their lines are read. */
export class RelayedRequests {
  private readonly keys = new Set<string>();

  /** Reads a line of a request: the one that accepts or refuses it tells who sent it. */
  read(line: LogLine): void {
    const key = toKey(line);
    if (line.relayedBy !== undefined) this.keys.add(key);
    else if (line.event === 'request_accepted') this.keys.delete(key);
  }

  /** Whether the host of the line took the request from another host. */
  has(line: LogLine): boolean {
    return this.keys.has(toKey(line));
  }
}

function toKey({host, request}: LogLine): string {
  return `${host}|${request}`;
}
