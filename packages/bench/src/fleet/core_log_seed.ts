import {hashAccessKey, type Seed} from '@bayspool/decisions';
import {fleetKeys} from './fleet_keys.js';

interface Options {
  readonly places: readonly string[];
  readonly workspaces?: readonly string[];
  /** The workspaces' home; each place in turn when absent. */
  readonly home?: string;
  readonly crossing?: boolean;
  readonly whenStale?: 'serve' | 'refuse';
}

const CHEAP = 'geo-small@1';
const STRONG = ['geo-large@1', 'geo-large@2'];

/** A first configuration like that of the geologists: a cheap model, a strong one in two versions, a plain service. */
export function coreLogSeed(options: Options): Seed {
  const names = options.workspaces ?? ['survey', 'mining'];
  const versions = [CHEAP, ...STRONG];
  return {
    places: options.places.map(id => ({id, entry: true})),
    versions: [
      {id: CHEAP, model: 'geo-small', state: 'stable', cost: 1, strength: 1},
      {
        id: STRONG[0],
        model: 'geo-large',
        state: 'stable',
        cost: 8,
        strength: 2,
      },
      {
        id: STRONG[1],
        model: 'geo-large',
        state: 'stable',
        cost: 8,
        strength: 2,
      },
    ],
    services: [
      {
        id: 'core-registry',
        routes: [
          {method: 'POST', path: '/slips', priority: 'urgent', once: true},
          {method: 'POST', path: '/labels', priority: 'urgent', once: false},
          {method: 'GET', path: '/slips', priority: 'interactive', once: false},
        ],
      },
    ],
    workspaces: names.map((id, index) => ({
      id,
      keyHashes: [hashAccessKey(`${id}${fleetKeys.suffix}`)],
      home: options.home ?? options.places[index % options.places.length],
      crossing: options.crossing ?? true,
      whenStale: options.whenStale ?? 'serve',
      weight: 1,
      services: ['core-registry'],
      tasks: {
        default: {
          priority: 'interactive',
          quality: 0.9,
          versions,
          deadlineMs: 60_000,
        },
        'borehole-log': {
          priority: 'bulk',
          quality: 0.95,
          versions: STRONG,
          deadlineMs: 60_000,
        },
        'box-summary': {
          priority: 'interactive',
          quality: 0.8,
          versions,
          deadlineMs: 60_000,
        },
        'field-notes': {
          priority: 'interactive',
          quality: 0.9,
          versions,
          deadlineMs: 60_000,
        },
      },
    })),
  };
}
