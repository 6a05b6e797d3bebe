/** Stand-ins for tests of what uses the admission control. */
export {computePercentile} from './compute_percentile.js';
export {FifoRunner} from './fifo_runner.js';
