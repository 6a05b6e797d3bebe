import type {WeightStore} from '@bayspool/decisions';
import type {Got} from 'got';
import {z} from 'zod';

const rateSchema = z.object({loads_per_minute: z.number().positive()});

/** Client of the platform's weight store over HTTP. */
export class HttpWeightStore implements WeightStore {
  constructor(private readonly http: Got) {}

  async loadsPerMinute(signal?: AbortSignal): Promise<number> {
    const reply = await this.http.get('rate', {signal});
    return rateSchema.parse(reply.body).loads_per_minute;
  }
}
