#include "cactusford/timeline/render.h"

#include <nlohmann/json.hpp>

namespace cactusford::timeline {

namespace {

using nlohmann::json;

// The browser draws the time line from the events embedded in the page, so the
// file is self-contained and opens without a network.
constexpr std::string_view page_head = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>cactusford time line</title>
<style>
body{font:13px sans-serif;margin:0;color:#222}
#bar{padding:8px 12px;border-bottom:1px solid #ccc;background:#f6f6f6;
position:sticky;top:0}
#bar input{width:180px;margin-right:10px}
#key span{display:inline-block;margin-right:12px}
#key i{display:inline-block;width:10px;height:10px;margin-right:4px}
#detail{padding:6px 12px;font-family:monospace;white-space:pre-wrap;
min-height:2.6em;border-bottom:1px solid #eee}
canvas{display:block}
</style></head><body>
<div id="bar">process <input id="process"> request or sample
<input id="request"> kind <input id="kind">
<span id="count"></span><div id="key"></div></div>
<div id="detail">Scroll to zoom, drag to pan, hover over an event for
details.</div>
<canvas id="canvas"></canvas>
<script>
const events=)";

constexpr std::string_view page_tail = R"(;
const spans={call_started:'call_ended',request_accepted:'request_ended',
sample_started:'sample_ready',weights_order:'weights_order_ended',
process_paused:'process_resumed'};
const colours={call_started:'#4a90d9',request_accepted:'#7bb661',
sample_started:'#c9a0dc',weights_order:'#f5a623',engine_swapped:'#d0021b',
process_killed:'#000',process_paused:'#888',process_leaving:'#8b572a',
call_refused:'#ff6f61',call_retry:'#ff9e9e',lease_acquired:'#00a6a6',
step_completed:'#006400',configuration_accepted:'#6a0dad',fault:'#b00',
weights_published:'#e67e22'};
const names={call_started:'call',request_accepted:'request',
sample_started:'sample',weights_order:'weight order',engine_swapped:'swap',
process_killed:'killed',process_paused:'paused',process_leaving:'leaving',
call_refused:'refusal',call_retry:'retry',lease_acquired:'lease',
step_completed:'step completed',configuration_accepted:'configuration',
fault:'fault',weights_published:'weights published'};
const $=id=>document.getElementById(id);
for(const k in names){const s=document.createElement('span');
s.innerHTML='<i style="background:'+colours[k]+'"></i>'+names[k];
$('key').appendChild(s);}
const idOf=e=>(e.request||e.sample||e.model||e.target||'')+'#'+
(e.attempt||'')+(e.kind||'');
const items=[];const open=new Map();
const ends=Object.fromEntries(Object.entries(spans).map(([a,b])=>[b,a]));
for(const e of events){
const target=e.target&&(e.event.startsWith('process_'))?e.target:e.process;
if(spans[e.event]){const it={e,from:e.t,to:null,row:target};
open.set(target+e.event+idOf(e),it);items.push(it);}
else if(ends[e.event]){const k=target+ends[e.event]+idOf(e);
const it=open.get(k);if(it){it.to=e.t;it.end=e;open.delete(k);}
else items.push({e,from:e.t,to:e.t,row:target});}
else items.push({e,from:e.t,to:e.t,row:target});}
const last=events.length?events[events.length-1].t:1;
for(const it of items){if(it.to===null){it.to=last;it.unended=true;}}
let shown=[],rows=[],from=events.length?events[0].t:0,to=last+1;
const canvas=$('canvas'),ctx=canvas.getContext('2d');
const left=170,head=24,lane=7;
function layout(){
const p=$('process').value,r=$('request').value,k=$('kind').value;
shown=items.filter(it=>(!p||it.row.includes(p))&&(!k||it.e.event.includes(k))
&&(!r||JSON.stringify(it.e).includes(r)));
const by=new Map();for(const it of shown){if(!by.has(it.row))
by.set(it.row,[]);by.get(it.row).push(it);}
rows=[...by.keys()].sort().map(name=>({name,items:by.get(name)}));
let y=head;for(const row of rows){const free=[];row.y=y;
row.items.sort((a,b)=>a.from-b.from);
for(const it of row.items){let i=free.findIndex(t=>t<=it.from);
if(it.to===it.from){i=0;}else if(i<0){i=free.length;}
if(i>39){i=39;}
if(it.to>it.from)free[i]=it.to;else if(free[0]===undefined)free[0]=0;
it.lane=i;}
row.h=Math.max(2,free.length)*lane+8;y+=row.h;}
canvas.width=window.innerWidth-2;canvas.height=y+20;
$('count').textContent=shown.length+' of '+items.length+' events';draw();}
const x=t=>left+(t-from)/(to-from)*(canvas.width-left-10);
function draw(){ctx.clearRect(0,0,canvas.width,canvas.height);
ctx.font='11px sans-serif';ctx.fillStyle='#666';
for(let i=0;i<=10;i++){const t=from+(to-from)*i/10;ctx.fillStyle='#666';
ctx.fillText(((t-events[0].t)/1000).toFixed(2)+' s',x(t)-12,14);
ctx.fillStyle='#eee';ctx.fillRect(x(t),18,1,canvas.height);}
for(const row of rows){ctx.fillStyle='#fff';
ctx.fillRect(0,row.y,left-4,row.h);ctx.fillStyle='#222';
ctx.fillText(row.name,6,row.y+14);ctx.fillStyle='#ddd';
ctx.fillRect(0,row.y+row.h-2,canvas.width,1);
const order=[...row.items].sort((a,b)=>(b.to-b.from)-(a.to-a.from));
for(const it of order){if(it.to<from||it.from>to)continue;
ctx.fillStyle=colours[it.e.event]||'#bbb';
const a=Math.max(left,x(it.from)),b=Math.max(a+2,x(it.to));
if(it.to>it.from){ctx.fillRect(a,row.y+2+it.lane*lane,b-a,lane-1);
if(it.unended){ctx.fillStyle='#000';ctx.fillRect(b-2,row.y+2+it.lane*lane,
2,lane-1);}}
else if(colours[it.e.event]){const small=it.e.event.startsWith('call_');
ctx.fillRect(a-1,row.y,small?2:3,small?10:row.h-2);}}}}
function at(px,py){let best=null;for(const row of rows){
if(py<row.y||py>row.y+row.h)continue;for(const it of row.items){
const a=x(it.from)-3,b=Math.max(a+6,x(it.to)+3);
const ok=it.to===it.from||Math.abs(py-(row.y+5+it.lane*lane))<5;
if(px>=a&&px<=b&&ok&&(!best||it.to-it.from<best.to-best.from))best=it;}}
return best;}
let drag=null;
canvas.onmousedown=e=>drag={x:e.offsetX,from,to};
window.onmouseup=()=>drag=null;
canvas.onmousemove=e=>{if(drag){const d=(drag.x-e.offsetX)/
(canvas.width-left)*(drag.to-drag.from);from=drag.from+d;to=drag.to+d;
draw();return;}const it=at(e.offsetX,e.offsetY);if(it){
$('detail').textContent=JSON.stringify(it.e)+(it.end?'\n'+
JSON.stringify(it.end):'')+(it.to>it.from?'  '+(it.to-it.from)+' ms':'');}};
canvas.addEventListener('wheel',e=>{e.preventDefault();
const t=from+(e.offsetX-left)/(canvas.width-left)*(to-from);
const f=e.deltaY>0?1.25:0.8;from=t-(t-from)*f;to=t+(to-t)*f;draw();},
{passive:false});
for(const id of ['process','request','kind'])$(id).oninput=layout;
window.onresize=layout;layout();
</script></body></html>
)";

} // namespace

std::string
to_html(const std::vector<record>& records)
{
  auto events = json::array();
  for (const auto& r : records) {
    json e(r.values);
    e["t"] = static_cast<double>(r.at.ms) + r.at.counter / 1000.0;
    events.push_back(std::move(e));
  }
  auto data = events.dump(-1, ' ', true, json::error_handler_t::replace);
  // Escapes "</", because a value with "</script>" would end the script.
  for (auto at = data.find("</"); at != std::string::npos;
       at = data.find("</", at + 2)) {
    data.replace(at, 2, "<\\/");
  }
  return std::string{ page_head } + data + std::string{ page_tail };
}

} // namespace cactusford::timeline
