/** Identifies a configured object of any kind, such as `version/geo-large@4`. */
export type ObjectKey =
  `${'version' | 'workspace' | 'service' | 'place' | 'host' | 'runner'}/${string}`;
