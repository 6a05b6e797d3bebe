// Guards against taking a property that every object inherits for a version, workspace, task or place.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findEligibleVersions} from '../versions/find_eligible_versions.js';
import {applyIntent} from './apply_intent.js';
import {emptyConfiguration} from './empty_configuration.js';
import {foldRecord} from './fold_record.js';
import type {Intent} from './intent.js';

const NAMES = Object.getOwnPropertyNames(Object.prototype);
const config = foldRecord(emptyConfiguration, 0, {
  type: 'seed',
  id: 'seed',
  seed: {
    places: [{id: 'hall-a', entry: true}],
    versions: [
      {id: 'geo@1', model: 'geo', state: 'stable', cost: 1, strength: 1},
    ],
    services: [],
    workspaces: [],
  },
});

void test('intents for such names are rejected', () => {
  for (const name of NAMES) {
    const intents: Intent[] = [
      {kind: 'withdraw', version: name},
      {kind: 'retire', version: name},
      {kind: 'hand-over-place', place: 'hall-a', to: name},
      {kind: 'undrain', place: name},
      {
        kind: 'allow-version',
        workspace: name,
        task: 'constructor',
        version: 'geo@1',
        allowed: true,
      },
    ];
    for (const intent of intents)
      assert.ok(applyIntent(config, intent).isLeft(), JSON.stringify(intent));
  }
});

void test('requests with such names of workspaces and tasks find no version', () => {
  for (const name of NAMES) {
    const request = {workspace: name, task: name, selector: 'auto'};
    const found = findEligibleVersions(config, request as never);
    assert.ok(found.isLeft(), name);
  }
});
