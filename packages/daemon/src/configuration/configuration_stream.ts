/** Name of the log's stream of configuration records. */
export const configurationStream = 'configuration';
