/** Support for tests of what is decided on calls. */
export {findLimitExcess} from './find_limit_excess.js';
export {findRetryExcess} from './find_retry_excess.js';
