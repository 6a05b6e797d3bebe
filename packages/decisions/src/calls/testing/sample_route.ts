import {CallKind} from '../call_kind.js';
import type {CallRoute} from '../call_route.js';

/** A route with two models whose streams are resumable. */
export const sampleRoute: CallRoute = {
  name: 'r',
  hostName: 'a.example',
  pathPrefix: '/x/',
  kind: CallKind.RESUMABLE,
  timeLimitMs: 8_000,
  latencyTargetMs: 2_000,
  pauseTargetMs: 1_000,
  priority: 0,
  attempts: 3,
  isPublic: true,
  models: ['small', 'large'],
  targets: [{service: 'svc', weight: 1}],
};
