import type {Roster, RosterEntry} from '@bayspool/decisions';
import type {Got} from 'got';
import {z} from 'zod';

const entriesSchema = z.array(z.object({id: z.string(), leaving: z.boolean()}));

/** Client of the platform's roster of hosts over HTTP. */
export class HttpRoster implements Roster {
  constructor(private readonly http: Got) {}

  async list(signal?: AbortSignal): Promise<RosterEntry[]> {
    const reply = await this.http.get('entries', {signal});
    return entriesSchema.parse(reply.body);
  }
}
