import type {Runner} from '@bayspool/decisions';
import {BackendPool} from './backend_pool.js';

/** The pool of model engines that this host sends requests to. */
export class RunnerPool extends BackendPool<Runner> {}
