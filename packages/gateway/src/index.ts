/** Gateway that routes calls to runners, on top of a record store that the platform provides. */
export type {RecordReader} from './discovery/record_reader.js';
export type {HeaderNames} from './calls/header_names.js';
export {Gateway} from './gateway.js';
export type {GatewaySettings} from './gateway_settings.js';
export type {HttpResponse} from './http/http_response.js';
export {fetchResponse} from './http/fetch_response.js';
export {EventLog} from './observability/event_log.js';
export type {EventSink} from './observability/event_sink.js';
export {LineWriter} from './observability/line_writer.js';
export {EventLoopLag} from './observability/event_loop_lag.js';
export {fieldCodecs} from './records/field_codecs.js';
export type {KeyedRecord} from './records/keyed_record.js';
export {decodeEntry} from './records/decode_entry.js';
export type {RecordStore} from './records/record_store.js';
export {StoreFailure} from './records/store_failure.js';
export {StoreFailureKind} from './records/store_failure_kind.js';
export type {TopicPage} from './records/topic_page.js';
export {Topic} from './records/topic.js';
