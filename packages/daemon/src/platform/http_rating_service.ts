import type {
  RatingService,
  RatingResult,
  RatingSample,
} from '@bayspool/decisions';
import type {Got} from 'got';
import {z} from 'zod';

interface Options {
  readonly http: Got;
  readonly timeoutMs: number;
}

const resultsSchema = z.array(
  z.object({position: z.int(), requestId: z.string(), good: z.boolean()}),
);

/** Client of the platform's rating service over HTTP. */
export class HttpRatingService implements RatingService {
  constructor(private readonly options: Options) {}

  async submit(sample: RatingSample): Promise<void> {
    const {requestId, ...rest} = sample;
    await this.options.http.post('samples', {
      json: {...rest, request_id: requestId},
    });
  }

  async fetchResults(
    host: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<RatingResult[]> {
    const reply = await this.options.http.get('results', {
      searchParams: {host, after, wait_ms: waitMs},
      timeout: {request: waitMs + this.options.timeoutMs},
      signal,
    });
    return resultsSchema.parse(reply.body);
  }
}
