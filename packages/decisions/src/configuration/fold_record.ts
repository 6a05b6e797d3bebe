import {applyIntent} from './apply_intent.js';
import type {ConfigRecord} from './config_record.js';
import type {Configuration} from './configuration.js';
import {getIntentSubject} from './get_intent_subject.js';
import type {Seed} from './seed.js';
import {computeStateDigest} from './compute_state_digest.js';
import {listTouchedObjects} from './list_touched_objects.js';
import type {IntentVerdict} from './intent_verdict.js';

/** Verdicts kept for operators and for detecting an intent that is sent twice. */
const MAX_VERDICTS = 512;

/**
 * Folds one record of the log into the configuration. Pure and total, so that all
 * hosts that fold the same records have the same state. A record at or below the
 * state's offset changes nothing.
 */
export function foldRecord(
  config: Configuration,
  offset: number,
  record: ConfigRecord,
): Configuration {
  if (offset <= config.offset) return config;
  const next = {...config, offset};
  switch (record.type) {
    case 'seed':
      return config.offset === -1 ? applySeed(next, record.seed) : next;
    case 'snapshot':
      return config.offset === -1 ? restoreSnapshot(next, record) : next;
    case 'intent':
      return foldIntent(next, record);
  }
}

function foldIntent(
  config: Configuration,
  record: Extract<ConfigRecord, {type: 'intent'}>,
): Configuration {
  if (config.verdicts.some(verdict => verdict.intentId === record.id))
    return config;
  const commonFields = {
    intentId: record.id,
    offset: config.offset,
    kind: record.intent.kind,
    subject: getIntentSubject(record.intent),
    by: record.by,
  };
  const changedObject = findChangedObject(config, record);
  if (changedObject !== undefined) {
    const lostTo = config.verdicts.find(
      verdict => verdict.offset === config.revisions[changedObject],
    )?.intentId;
    const reason = `${changedObject} changed after the plan was made; ask for a new plan`;
    return recordVerdict(config, {
      ...commonFields,
      accepted: false,
      lostTo,
      reason,
    });
  }
  return applyIntent(config, record.intent).caseOf({
    Left: reason =>
      recordVerdict(config, {...commonFields, accepted: false, reason}),
    Right: changed =>
      recordVerdict(
        recordRevisions(changed, listTouchedObjects(record.intent)),
        {
          ...commonFields,
          accepted: true,
        },
      ),
  });
}

function findChangedObject(
  config: Configuration,
  record: Extract<ConfigRecord, {type: 'intent'}>,
): string | undefined {
  return listTouchedObjects(record.intent).find(
    key => getRevision(config, key) !== record.basis[key],
  );
}

function getRevision(config: Configuration, key: string): number {
  return config.revisions[key] ?? -1;
}

function recordRevisions(
  config: Configuration,
  keys: readonly string[],
): Configuration {
  const changed = Object.fromEntries(keys.map(key => [key, config.offset]));
  return {...config, revisions: {...config.revisions, ...changed}};
}

function recordVerdict(
  config: Configuration,
  verdict: IntentVerdict,
): Configuration {
  return {
    ...config,
    verdicts: [...config.verdicts, verdict].slice(-MAX_VERDICTS),
  };
}

function applySeed(config: Configuration, seed: Seed): Configuration {
  const byId = <T extends {id: string}>(items: readonly T[]) =>
    Object.fromEntries(items.map(item => [item.id, item]));
  return {
    ...config,
    versions: byId(seed.versions),
    workspaces: byId(seed.workspaces),
    services: byId(seed.services),
    places: byId(seed.places),
  };
}

function restoreSnapshot(
  config: Configuration,
  record: Extract<ConfigRecord, {type: 'snapshot'}>,
): Configuration {
  if (computeStateDigest(record.state) !== record.digest)
    return {...config, offset: -1};
  return record.state;
}
