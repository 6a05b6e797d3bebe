import {fields} from '@bayspool/kernel';
import {z} from 'zod';

/** The settings sections that list the reachable runners and configure routing to them. */
export const runnerSections = {
  /** `[runner geo-1]`: a model engine. */
  runner: {
    name: 'runner',
    named: true,
    shape: z.strictObject({
      /** The place that it runs in. */
      place: z.string().min(1, 'needs the name of a place'),
      /** Its IP address and port. */
      address: fields.endpoint(),
    }),
  },
  /** `[embedded-runner geo-1]`: a stand-in engine in this process. */
  embeddedRunner: {
    name: 'embedded-runner',
    named: true,
    shape: z.strictObject({
      /** The place that it runs in. */
      place: z.string().min(1, 'needs the name of a place'),
      /** Versions that are loaded at startup, separated by commas. */
      versions: fields.list(''),
      /** How many requests it generates concurrently. */
      slots: fields.number(16),
      /** Duration of one step of the batch. */
      step: fields.duration('8ms'),
      /** Prefill time for a thousand prompt tokens. */
      prefill: fields.duration('60ms'),
      /** Time to load weights. */
      'load-time': fields.duration('2s'),
    }),
  },
  /** `[service-runner pack-1]`: a runner of a plain service. */
  serviceRunner: {
    name: 'service-runner',
    named: true,
    shape: z.strictObject({
      /** The service that it runs. */
      service: z.string().min(1, 'needs the name of a service'),
      /** The place that it runs in. */
      place: z.string().min(1, 'needs the name of a place'),
      /** Its IP address and port. */
      address: fields.endpoint(),
    }),
  },
  /** `[embedded-service pack-1]`: a stand-in packing app in this process. */
  embeddedService: {
    name: 'embedded-service',
    named: true,
    shape: z.strictObject({
      /** The service that it runs. */
      service: z.string().min(1, 'needs the name of a service'),
      /** The place that it runs in. */
      place: z.string().min(1, 'needs the name of a place'),
    }),
  },
  routing: {
    name: 'routing',
    shape: z.strictObject({
      /** The load balancing policy. */
      choice: z
        .enum(['predicted-wait', 'round-robin'])
        .default('predicted-wait'),
      /** The queue discipline when all runners are busy. */
      order: z.enum(['fair', 'first-come']).default('fair'),
      /** How many requests of one priority class may be queued on this host. */
      queue: fields.number(1_000),
      /** Initial concurrency limit of this host on one runner. */
      'limit-initial': fields.number(16),
      /** Highest concurrency limit of this host on one runner. */
      'limit-most': fields.number(256),
      /** Consecutive failures after which a runner is ejected. */
      'eject-after': fields.number(3),
      /** Duration of the first ejection; it doubles with each further one. */
      'eject-for': fields.duration('2s'),
      /** Longest duration of an ejection. */
      'eject-for-most': fields.duration('60s'),
      /** The largest share of the runners that may be ejected at once. */
      'ejected-part-most': fields.number(0.5),
      /** How long a runner takes to reach its full share after an ejection. */
      'slow-start': fields.duration('10s'),
      /** How often a runner in use is polled for its load; others are polled six times less often. */
      'poll-interval': fields.duration('500ms'),
      /** Polls per second over all runners; with more runners each is polled less often. */
      'polls-per-second': fields.number(16),
      /** Older load reports are ignored. */
      'report-max-age': fields.duration('5s'),
      /** Timeout for connecting to a runner. */
      'connect-timeout': fields.duration('1s'),
      /** A response that stays silent for this long is treated as interrupted. */
      stall: fields.duration('10s'),
      /** The cost of sending a request to another place, added to its score in load balancing. */
      'crossing-cost': fields.duration('5ms'),
      /** Load per slot in the home place above which requests start to cross to other places. */
      'crossing-enter': fields.number(1.2),
      /** Load per slot in the home place below which crossing stops. */
      'crossing-leave': fields.number(0.8),
      /** Load per slot above which the other place accepts no crossing requests. */
      'crossing-cap': fields.number(0.8),
      /** How long a prefix is assumed to stay in the cache of a runner. */
      'prefix-max-age': fields.duration('5m'),
      /** How many prefixes are remembered per runner. */
      'prefixes-most': fields.number(2_048),
    }),
  },
};
