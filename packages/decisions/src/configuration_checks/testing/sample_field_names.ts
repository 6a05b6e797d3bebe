import type {ConfigurationFieldNames} from '../configuration_field_names.js';

/** Field names of a made-up file format. */
export const sampleFieldNames: ConfigurationFieldNames = {
  version: 'version',
  route: {
    hostName: 'host',
    pathPrefix: 'prefix',
    kind: 'kind',
    timeLimitMs: 'limit',
    latencyTargetMs: 'latency-target',
    pauseTargetMs: 'pause-target',
    priority: 'priority',
    attempts: 'attempts',
    isPublic: 'public',
    models: 'models',
    regions: 'regions',
    targets: 'targets',
  },
  service: {
    maxConnections: 'connections',
    coldCallsPerSecond: 'cold-rate',
    healthPath: 'health',
  },
  engine: {slots: 'slots', memoryTokens: 'memory', costs: 'costs'},
  limits: {
    headerBytes: 'header-limit',
    bodyBytes: 'body-limit',
    headerTimeoutMs: 'header-timeout',
    idleTimeoutMs: 'idle-timeout',
  },
  workspace: {keys: 'keys', priority: 'priority', regions: 'regions'},
  workspaces: 'workspaces',
};
