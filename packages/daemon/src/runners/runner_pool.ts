import type {Runner} from '@bayspool/decisions';
import {BackendPool} from './backend_pool.js';

/** The model engines that this host may use. */
export class RunnerPool extends BackendPool<Runner> {}
