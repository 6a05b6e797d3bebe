import type {ServiceRunner} from '@bayspool/decisions';
import {TargetPool} from './target_pool.js';

/** The plain services' runners that this host may use. */
export class ServicePool extends TargetPool<ServiceRunner> {}
