import type {CallConfiguration} from '../calls/call_configuration.js';
import type {CallLimits} from '../calls/call_limits.js';
import type {CallRoute} from '../calls/call_route.js';
import type {CallService} from '../calls/call_service.js';
import {isRetryable} from '../calls/is_retryable.js';
import {MAX_HEADER_BYTES} from '../calls/max_header_bytes.js';
import type {ConfigurationFieldNames} from './configuration_field_names.js';
import type {ConfigurationFinding} from './configuration_finding.js';
import {FindingKind} from './finding_kind.js';
import {FindingSeverity} from './finding_severity.js';

/** Usual size of a token in a prompt of text, in bytes; estimates the tokens of the largest accepted body. */
const BYTES_PER_TOKEN = 4;

/** Finds limits that contradict each other. */
export function findLimitConflicts(
  {routes, services, limits}: CallConfiguration,
  names: ConfigurationFieldNames,
): ConfigurationFinding[] {
  return [
    ...routes.flatMap(route => [
      ...findTargetConflicts(route, names),
      ...findAttemptConflicts(route, names),
    ]),
    ...findHeaderConflict(limits, names),
    ...[...services.values()].flatMap(service =>
      findMemoryConflict(service, limits, names),
    ),
  ];
}

function findTargetConflicts(
  {name, timeLimitMs, latencyTargetMs, pauseTargetMs}: CallRoute,
  {route: names}: ConfigurationFieldNames,
): ConfigurationFinding[] {
  const targets = [
    {
      kind: FindingKind.LATENCY_TARGET_OVER_TIME_LIMIT,
      field: names.latencyTargetMs,
      valueMs: latencyTargetMs,
    },
    {
      kind: FindingKind.PAUSE_TARGET_OVER_TIME_LIMIT,
      field: names.pauseTargetMs,
      valueMs: pauseTargetMs,
    },
  ];
  return targets
    .filter(({valueMs}) => valueMs > timeLimitMs)
    .map(({kind, field, valueMs}) => ({
      kind,
      severity: FindingSeverity.WARNING,
      subject: `route "${name}"`,
      message: `${field} ${valueMs} is over ${names.timeLimitMs} ${timeLimitMs}, at which the call ends; lower the target or raise the limit`,
    }));
}

function findAttemptConflicts(
  {name, kind, attempts}: CallRoute,
  {route: names}: ConfigurationFieldNames,
): ConfigurationFinding[] {
  const subject = `route "${name}"`;
  if (attempts < 1)
    return [
      {
        kind: FindingKind.NO_ATTEMPTS,
        severity: FindingSeverity.ERROR,
        subject,
        message: `${names.attempts} ${attempts} sends no call to a runner; set it to 1 or more`,
      },
    ];
  if (attempts === 1 || isRetryable(kind)) return [];
  return [
    {
      kind: FindingKind.ATTEMPTS_OF_AT_MOST_ONCE_CALL,
      severity: FindingSeverity.WARNING,
      subject,
      message: `${names.attempts} is ${attempts}, but the calls may run at most once, so a further attempt is made only if a runner has promised that the call did not run; set it to 1 if more is expected`,
    },
  ];
}

function findHeaderConflict(
  {headerBytes}: CallLimits,
  {limits: names}: ConfigurationFieldNames,
): ConfigurationFinding[] {
  if (headerBytes <= MAX_HEADER_BYTES) return [];
  return [
    {
      kind: FindingKind.HEADER_LIMIT_OVER_SERVER,
      severity: FindingSeverity.WARNING,
      subject: 'limits',
      message: `${names.headerBytes} ${headerBytes} is over the ${MAX_HEADER_BYTES} bytes that the server accepts; lower it`,
    },
  ];
}

function findMemoryConflict(
  {name, engine}: CallService,
  {bodyBytes}: CallLimits,
  names: ConfigurationFieldNames,
): ConfigurationFinding[] {
  const promptTokens = Math.ceil(bodyBytes / BYTES_PER_TOKEN);
  if (!engine || engine.memoryTokens >= promptTokens) return [];
  return [
    {
      kind: FindingKind.ENGINE_MEMORY_UNDER_PROMPT,
      severity: FindingSeverity.WARNING,
      subject: `service "${name}"`,
      message: `${names.engine.memoryTokens} ${engine.memoryTokens} is less than one prompt of ${names.limits.bodyBytes} ${bodyBytes} can need (${promptTokens} tokens of ${BYTES_PER_TOKEN} bytes); lower the body limit or use engines with more memory`,
    },
  ];
}
