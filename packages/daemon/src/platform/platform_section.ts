import {fields} from '@bayspool/kernel';
import {z} from 'zod';

/** Settings that select the platform's services and their endpoints. */
export const platformSection = {
  name: 'platform',
  shape: z
    .strictObject({
      /** `embedded` runs in-memory implementations in this process; `http` uses the endpoints below. */
      kind: z.enum(['embedded', 'http']).default('http'),
      /** The log service. */
      log: fields.endpoint().optional(),
      /** The rating service; without one nothing is rated. */
      rating: fields.endpoint().optional(),
      /** The roster of hosts; without one no host or runner is listed as leaving. */
      roster: fields.endpoint().optional(),
      /** The weight store; without one loads are not rate limited. */
      weights: fields.endpoint().optional(),
      /** Timeout of one call, in addition to the wait of a long poll. */
      timeout: fields.duration('3s'),
      /** embedded: how long the log keeps records. */
      retention: fields.duration('1d'),
      /** embedded: share of good answers by `version` or `version/task`, as `name=0.9,other=0.8`. */
      quality: fields.list(''),
      /** embedded: mean delay until a rating is available. */
      'rating-delay': fields.duration('300ms'),
    })
    .refine(
      section => section.kind === 'embedded' || section.log !== undefined,
      {
        path: ['log'],
        message:
          'needs the endpoint of the log service, or set kind = embedded',
      },
    ),
};
