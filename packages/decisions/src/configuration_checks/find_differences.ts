import stringify from 'safe-stable-stringify';
import type {CallService} from '../calls/call_service.js';
import type {ConfigurationDifference} from './configuration_difference.js';
import type {ConfigurationFieldNames} from './configuration_field_names.js';
import type {DeclaredConfiguration} from './declared_configuration.js';
import type {DeclaredWorkspace} from './declared_workspace.js';

type Fields = ReadonlyMap<string, unknown>;
type Entry = {readonly name: string};

/** How the entries of one kind are compared. */
interface EntryKind<T extends Entry> {
  readonly name: string;
  readonly describe: (entry: T) => Fields;
  /** Differences in what must not be shown itself. */
  readonly compareSecrets?: (before: T, after: T) => ConfigurationDifference[];
}

/** Lists what differs from the configuration in force: entries by name, changed entries field by field. */
export function findDifferences(
  before: DeclaredConfiguration,
  after: DeclaredConfiguration,
  names: ConfigurationFieldNames,
): ConfigurationDifference[] {
  const inForce = before.configuration;
  const next = after.configuration;
  return [
    ...compareEntries([...inForce.routes], [...next.routes], {
      name: 'route',
      describe: route => selectFields(route, names.route),
    }),
    ...compareEntries(
      [...inForce.services.values()],
      [...next.services.values()],
      {name: 'service', describe: service => describeService(service, names)},
    ),
    ...compareFields(
      'limits',
      selectFields(inForce.limits, names.limits),
      selectFields(next.limits, names.limits),
    ),
    ...compareWorkspaces(before, after, names),
  ];
}

function describeService(
  service: CallService,
  names: ConfigurationFieldNames,
): Fields {
  const {engine} = service;
  return new Map([
    ...selectFields(service, names.service),
    ...(engine ? selectFields(engine, names.engine) : []),
  ]);
}

function compareWorkspaces(
  {workspaces: before}: DeclaredConfiguration,
  {workspaces: after}: DeclaredConfiguration,
  names: ConfigurationFieldNames,
): ConfigurationDifference[] {
  const {keys, ...fields} = names.workspace;
  return [
    ...compareFields(
      'configuration',
      new Map([[names.workspaces, describeKeyNeed(before)]]),
      new Map([[names.workspaces, describeKeyNeed(after)]]),
    ),
    ...compareEntries(before ?? [], after ?? [], {
      name: 'workspace',
      describe: workspace => selectFields(workspace, fields),
      compareSecrets: (old, next) => compareKeys(keys, old, next),
    }),
  ];
}

function describeKeyNeed(workspaces: unknown): string {
  return workspaces ? 'callers need keys' : 'callers need no keys';
}

function compareKeys(
  field: string,
  {name, keys: before}: DeclaredWorkspace,
  {keys: after}: DeclaredWorkspace,
): ConfigurationDifference[] {
  const added = countMissing(after, before);
  const removed = countMissing(before, after);
  if (added === 0 && removed === 0) return [];
  return [
    {
      change: 'changed',
      subject: `workspace "${name}"`,
      field,
      before: {count: new Set(before).size},
      after: {count: new Set(after).size, added, removed},
    },
  ];
}

/** Counts the keys that the other list does not hold. */
function countMissing(
  keys: readonly string[],
  others: readonly string[],
): number {
  const known = new Set(others);
  return [...new Set(keys)].filter(key => !known.has(key)).length;
}

function compareEntries<T extends Entry>(
  before: readonly T[],
  after: readonly T[],
  {name, describe, compareSecrets}: EntryKind<T>,
): ConfigurationDifference[] {
  const old = new Map(before.map(entry => [entry.name, entry]));
  const next = new Map(after.map(entry => [entry.name, entry]));
  const toSubject = (entry: T) => `${name} "${entry.name}"`;
  const removed = [...old.values()]
    .filter(entry => !next.has(entry.name))
    .map(entry => ({change: 'removed' as const, subject: toSubject(entry)}));
  const others = [...next.values()].flatMap(
    (entry): ConfigurationDifference[] => {
      const subject = toSubject(entry);
      const previous = old.get(entry.name);
      if (!previous) return [{change: 'added', subject}];
      return [
        ...compareFields(subject, describe(previous), describe(entry)),
        ...(compareSecrets?.(previous, entry) ?? []),
      ];
    },
  );
  return [...removed, ...others];
}

function compareFields(
  subject: string,
  before: Fields,
  after: Fields,
): ConfigurationDifference[] {
  const fields = [...new Set([...before.keys(), ...after.keys()])];
  return fields
    .map(field => ({
      change: 'changed' as const,
      subject,
      field,
      before: before.get(field),
      after: after.get(field),
    }))
    .filter(change => stringify(change.before) !== stringify(change.after));
}

/** Takes the fields that have a name, under it. Maps become plain objects. */
function selectFields<T extends object>(
  entry: T,
  names: Readonly<Partial<Record<keyof T, string>>>,
): Fields {
  return new Map(
    Object.entries(names).map(([key, name]) => [
      name as string,
      toPlainValue(entry[key as keyof T]),
    ]),
  );
}

function toPlainValue(value: unknown): unknown {
  return value instanceof Map ? Object.fromEntries(value) : value;
}
