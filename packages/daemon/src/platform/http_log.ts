import type {Log, LogPage} from '@bayspool/decisions';
import type {Got} from 'got';
import {z} from 'zod';

interface Options {
  readonly http: Got;
  readonly timeoutMs: number;
}

const pageSchema = z.object({
  records: z.array(
    z.object({offset: z.int(), at: z.number(), value: z.string()}),
  ),
  first: z.int(),
  next: z.int(),
});
const appendReplySchema = z.object({offset: z.int()});

/** Client of the platform's log service over HTTP. */
export class HttpLog implements Log {
  constructor(private readonly options: Options) {}

  async append(stream: string, values: readonly string[]): Promise<number> {
    const reply = await this.options.http.post(`streams/${stream}/records`, {
      json: {values},
    });
    return appendReplySchema.parse(reply.body).offset;
  }

  async read(
    stream: string,
    from: number,
    options: {waitMs: number; signal?: AbortSignal},
  ): Promise<LogPage> {
    const reply = await this.options.http.get(`streams/${stream}/records`, {
      searchParams: {from, wait_ms: options.waitMs},
      timeout: {request: options.waitMs + this.options.timeoutMs},
      signal: options.signal,
    });
    return pageSchema.parse(reply.body);
  }
}
