const HINTS = `
bayspoold demo: callers at http://127.0.0.1:8080, operators at http://127.0.0.1:8081. Try in another terminal:

  curl -sN http://127.0.0.1:8080/v1/chat/completions -H 'Authorization: Bearer demo-key' -H 'Content-Type: application/json' -d '{"model":"auto","stream":true,"messages":[{"role":"user","content":"Describe box 7."}]}'

  curl -s http://127.0.0.1:8080/services/pack-app/slips -H 'Authorization: Bearer demo-key' -X POST

  BAYSPOOL_KEY=demo-operator node packages/client/dist/main.js status

`;

/** Prints where the demo listens and three commands to try out. */
export function showHints(): void {
  console.log(HINTS);
}
