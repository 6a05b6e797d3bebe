/** Renders the text of all messages of a chat request in order, with roles, as engines would lay it out. */
export function renderPromptText(
  body: Readonly<Record<string, unknown>>,
): string {
  const messages = Array.isArray(body.messages) ? body.messages : [];
  return messages
    .map(
      message => `${message?.role}\n${extractContentText(message?.content)}\n`,
    )
    .join('');
}

function extractContentText(content: unknown): string {
  if (typeof content === 'string') return content;
  if (!Array.isArray(content)) return '';
  return content
    .map(part => (typeof part?.text === 'string' ? part.text : ''))
    .join('');
}
