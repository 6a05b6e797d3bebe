import {CallKind} from '../../calls/call_kind.js';
import {sampleRoute} from '../../calls/testing/sample_route.js';
import type {DeclaredConfiguration} from '../declared_configuration.js';

/** A configuration without findings, with one route, service and workspace. */
export const sampleConfiguration: DeclaredConfiguration = {
  configuration: {
    version: 7,
    routes: [{...sampleRoute, kind: CallKind.SAFE}],
    services: new Map([
      [
        'svc',
        {
          name: 'svc',
          maxConnections: 100,
          engine: {slots: 32, memoryTokens: 597_293, costs: new Map()},
        },
      ],
    ]),
    limits: {
      headerBytes: 16_384,
      bodyBytes: 1_048_576,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    keys: new Map([['key-1', {workspace: 'ws'}]]),
  },
  serviceNames: ['svc'],
  workspaces: [{name: 'ws', keys: ['key-1']}],
};
