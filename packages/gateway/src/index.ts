/** Forwards routed calls to runners, on top of a record store that the platform runs. */
export type {WireReader} from './beliefs/wire_reader.js';
export type {HeaderNames} from './calls/header_names.js';
export {Gateway} from './gateway.js';
export type {GatewaySettings} from './gateway_settings.js';
export type {ReceivedAnswer} from './http/received_answer.js';
export {requestWhole} from './http/request_whole.js';
export {EventLog} from './observability/event_log.js';
export type {EventSink} from './observability/event_sink.js';
export {LineWriter} from './observability/line_writer.js';
export {LoopLag} from './observability/loop_lag.js';
export {fieldCodecs} from './records/field_codecs.js';
export type {KeyedRecord} from './records/keyed_record.js';
export {readEntry} from './records/read_entry.js';
export type {RecordStore} from './records/record_store.js';
export {StoreFailure} from './records/store_failure.js';
export {StoreFailureKind} from './records/store_failure_kind.js';
export type {TopicPage} from './records/topic_page.js';
export {Topic} from './records/topic.js';
