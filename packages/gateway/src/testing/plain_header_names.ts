import type {HeaderNames} from '../calls/header_names.js';

/** Header names for tests; each platform defines its own. */
export const plainHeaderNames: HeaderNames = {
  requestId: 'x-request-id',
  deadline: 'x-deadline',
  apiKey: 'x-key',
  workspace: 'x-workspace',
  expectedRunner: 'x-runner',
  notRun: 'x-not-run',
  signature: 'x-signature',
  model: 'x-model',
  promptSize: 'x-prompt-size',
  promptParts: 'x-prompt-parts',
  lengthHint: 'x-length-hint',
  session: 'x-session',
  lastEventId: 'last-event-id',
  confidence: 'x-confidence',
  load: 'x-load',
  limit: 'x-limit',
  leaving: 'x-leaving',
  retryAfter: 'retry-after',
  brittle: 'x-brittle',
  priority: 'x-priority',
  reserved: ['x-hold'],
};
